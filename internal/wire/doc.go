// Package wire holds the types of the wire formats. They are generated from the schemas under schema/.
package wire
