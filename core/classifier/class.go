package classifier

//go:generate stringer -type=Class -trimprefix=Class

// Class is the priority class of a kind of request. Under overload a lower class
// is shed before a higher one.
type Class int

// The classes in the order in which they are shed.
const (
	ClassBulk     Class = iota // Bulk uploads.
	ClassBrowse                // Browsing and listings.
	ClassStandard              // Interactive lookups.
	ClassCritical              // Issuing numbers and certificates, closing books.
)

// NumClasses is the number of classes.
const NumClasses = 4
