// Package configurer keeps the operators' settings as a tree of immutable documents in
// the key-value service. The head, one record that is changed by compare-and-swap, names
// the current version of each document; each change of it is a new revision.
package configurer

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("configurer")
