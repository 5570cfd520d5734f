#pragma once

namespace ibisfork::daemon {

/// Makes the process ignore the signals that it gives no meaning, and remember a request to stop that comes before the
/// event loop handles it. To be called first.
void prepareSignals();

/// True once the process was asked to stop before the event loop handled that.
bool isStopRequested();

} // namespace ibisfork::daemon
