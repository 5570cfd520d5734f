#pragma once

namespace ibisfork::memory {

/// Makes the allocator give large blocks back to the system as they are freed. Called before threads start.
void returnFreedMemory();

} // namespace ibisfork::memory
