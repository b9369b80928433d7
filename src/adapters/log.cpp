#include "log.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sstream>
#include <unistd.h>

#include "linewriter_p.h"

namespace fulmarledge {

namespace {

constexpr TimeMs kMsPerSecond = 1000;

/// Formats lines on the logging thread and queues them for the writer thread.
class QueueAppender : public log4cplus::Appender
{
public:
    ~QueueAppender() override
    {
        destructorImpl();
    }
    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream text;
        layout->formatAndAppend(text, event);
        m_writer.add(text.str());
    }

private:
    LineWriter m_writer{STDOUT_FILENO, kLogQueueLines};
};

log4cplus::Logger &ownLogger()
{
    static log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("fulmarledge"));
    return logger;
}

class Log4cplusEventLog : public EventLog
{
public:
    Log4cplusEventLog(std::string host, std::string zone)
        : m_host(std::move(host))
        , m_zone(std::move(zone))
    {
    }

    void event(std::string_view event, std::string_view detail) override
    {
        LOG4CPLUS_INFO(ownLogger(), "event=" << event << " host=" << m_host << " zone=" << m_zone << " " << detail);
    }

private:
    std::string m_host;
    std::string m_zone;
};

} // namespace

void startLogging(std::string_view level)
{
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(new QueueAppender);
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    std::string upper(level);
    for (char &c : upper) {
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void stopLogging()
{
    log4cplus::Logger::getRoot().removeAllAppenders();
}

std::unique_ptr<EventLog> makeEventLog(std::string host, std::string zone)
{
    return std::make_unique<Log4cplusEventLog>(std::move(host), std::move(zone));
}

bool DecisionLog::takeFailure(TimeMs now)
{
    const std::int64_t second = now / kMsPerSecond;
    std::int64_t known = m_second.load(std::memory_order_relaxed);
    if (known != second && m_second.compare_exchange_strong(known, second, std::memory_order_relaxed)) {
        m_lines.store(0, std::memory_order_relaxed);
        const std::uint32_t leftOut = m_leftOut.exchange(0, std::memory_order_relaxed);
        if (leftOut > 0) {
            LOG4CPLUS_INFO(ownLogger(), "event=decisions-left-out count=" << leftOut);
        }
    }
    if (m_lines.fetch_add(1, std::memory_order_relaxed) < kLinesPerSecond) {
        return true;
    }
    m_leftOut.fetch_add(1, std::memory_order_relaxed);
    return false;
}

bool DecisionLog::takeAnswered()
{
    return m_answered.fetch_add(1, std::memory_order_relaxed) % kAnsweredSample == 0;
}

void DecisionLog::write(std::string_view detail)
{
    LOG4CPLUS_INFO(ownLogger(), "event=decision " << detail);
}

} // namespace fulmarledge
