package logservice

import "errors"

// ErrNotApplied says that an append did not take effect and never will: the log
// service refused it (429, 503) or the request never left this host.
var ErrNotApplied = errors.New("append was not applied")
