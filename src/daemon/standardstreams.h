#pragma once

namespace ibisfork::daemon {

/// Opens the standard streams that are closed on /dev/null, since a socket that took the number of one would get its
/// lines, and lets no line wait for a reader of standard error. To be called before anything else is opened.
void prepareStandardStreams();

} // namespace ibisfork::daemon
