#include <iostream>

#include <ibisfork/coord/confirmation.h>
#include <ibisfork/coord/rendezvous.h>
#include <ibisfork/coord/replica.h>

// Keeps a copy of shared rows, acts on it only while it is confirmed, and shares work by rendezvous hash.
int main()
{
    using namespace ibisfork;

    coord::Replica replica;
    replica.apply(coord::Snapshot{1, {{"greeting", "hello"}}});

    coord::Confirmation confirmation(std::chrono::seconds(6));
    const auto now = base::monotonicNow();
    confirmation.recordNewest(replica.revision(), now);

    const auto holder = coord::rendezvousChoose("upstream-1/0", {"node-1", "node-2", "node-3"}, 1).front();
    std::cout << "confirmed " << confirmation.confirmed(replica.revision(), now) << ", slot held by " << holder << '\n';
    return 0;
}
