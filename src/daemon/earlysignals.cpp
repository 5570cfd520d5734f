#include "daemon/earlysignals.h"

#include <csignal>
#include <initializer_list>

namespace ibisfork::daemon {

namespace {

volatile std::sig_atomic_t stopRequested = 0;

void onStop(int)
{
    stopRequested = 1;
}

} // namespace

void prepareSignals()
{
    // SIGHUP: the settings are read now anyway. SIGXFSZ: the file of the log may be as long as it may be.
    for (const int signal : {SIGHUP, SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM}) {
        std::signal(signal, SIG_IGN);
    }
    for (const int signal : {SIGTERM, SIGINT, SIGQUIT}) {
        // Without SA_RESTART, so that it ends a wait for the file of the settings.
        struct sigaction action = {};
        action.sa_handler = &onStop;
        sigaction(signal, &action, nullptr);
    }
}

bool isStopRequested()
{
    return stopRequested != 0;
}

} // namespace ibisfork::daemon
