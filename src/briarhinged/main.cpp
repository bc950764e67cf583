#include "entryprocess.h"
#include "runner/engineupstream.h"
#include "runner/toolupstream.h"
#include "runnerprocess.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace
{

using namespace briarhinge;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;
constexpr base::Milliseconds upstreamTimeout{600'000};
constexpr base::Milliseconds drainPollInterval{20};
/** Time for the last bytes of finished responses to be sent before the connections are closed. */
constexpr base::Milliseconds flushDelay{100};

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/** Returns whether a draining process has requests in progress or may still receive calls that it must refuse. */
template <class ProcessT>
bool hasWork(const ProcessT &process)
{
    if constexpr (requires { process.isQuiescent(); }) {
        return process.inProgress() > 0 || !process.isQuiescent();
    }
    return process.inProgress() > 0;
}

template <class ProcessT>
void logUnfinishedCalls(const ProcessT &process, logging::EventLog &log)
{
    log.write(logging::events::stoppedEarly, {{"left", process.inProgress()}});
    if constexpr (requires { process.logUnfinishedCalls(); }) {
        process.logUnfinishedCalls();
    }
}

/** Waits until nothing is in progress, the drain limit has passed or a second stop signal arrives. */
template <class ProcessT>
void waitUntilDrained(const ProcessT &process, base::Milliseconds limit, logging::EventLog &log)
{
    const auto signals = stopSignals();
    const auto end = std::chrono::steady_clock::now() + limit;
    while (hasWork(process)) {
        const timespec poll{0, std::chrono::nanoseconds(drainPollInterval).count()};
        const bool isRepeatedSignal = sigtimedwait(&signals, nullptr, &poll) > 0;
        if (isRepeatedSignal || std::chrono::steady_clock::now() > end) {
            logUnfinishedCalls(process, log);
            return;
        }
    }
    std::this_thread::sleep_for(flushDelay);
}

template <class ProcessT>
int run(ProcessT &process, const settings::Settings &settings, logging::EventLog &log)
{
    const std::string error = process.start();
    if (!error.empty()) {
        log.write(logging::events::settingsRefused, {{"reason", error}});
        return exitFailed;
    }
    log.write(logging::events::processStarted,
              {{"zone", settings.zone.value()}, {"listen", wire::toString(settings.listen)}});
    const auto signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    log.write(logging::events::processStopping, {{"signal", signal}, {"inProgress", process.inProgress()}});
    process.drain();
    waitUntilDrained(process, settings.drainLimit, log);
    log.write(logging::events::processStopped, {});
    return exitOk;
}

int runRole(const settings::Settings &settings)
{
    logging::EventLog log(settings.name);
    if (settings.role == settings::Role::Entry) {
        daemon::EntryProcess process(settings, log);
        return run(process, settings, log);
    }
    if (settings.upstreamKind == settings::UpstreamKind::Engine) {
        daemon::RunnerProcess process(settings, log,
                                      std::make_unique<runner::EngineUpstream>(settings.upstreamUrl, upstreamTimeout));
        return run(process, settings, log);
    }
    daemon::RunnerProcess process(settings, log,
                                  std::make_unique<runner::ToolUpstream>(settings.upstreamUrl, upstreamTimeout));
    return run(process, settings, log);
}

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

}

int main(int argc, char **argv)
{
    base::returnFreedMemory();
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const auto read = settings::readSettings({argv + 1, argv + argc}, environmentVariable);
    if (const auto *errors = std::get_if<settings::SettingsErrors>(&read)) {
        for (const std::string &error : errors->errors) {
            std::cerr << "briarhinged: " << error << '\n';
        }
        return exitBadSettings;
    }
    if (const auto *info = std::get_if<settings::InfoText>(&read)) {
        std::cout << info->text;
        return exitOk;
    }
    return runRole(std::get<settings::Settings>(read));
}
