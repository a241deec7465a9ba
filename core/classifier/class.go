package classifier

//go:generate stringer -type=Class -trimprefix=Class

// Class says how much a kind of request matters. Under overload a lower class
// is shed before a higher one.
type Class int

// The classes from the first shed to the last shed.
const (
	ClassBulk     Class = iota // Bulk uploads.
	ClassBrowse                // Browsing and listings.
	ClassStandard              // Lookups that somebody waits for.
	ClassCritical              // Issuing numbers and certificates, closing books.
)

// NumClasses is the number of classes.
const NumClasses = 4
