// Package configurer keeps the operators' settings tree: immutable documents
// under one head that is changed by compare-and-swap.
package configurer

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("configurer")
