#include "log.h"

#include <algorithm>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sstream>
#include <unistd.h>

#include "linewriter_p.h"
#include "utf8.h"

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
        m_writer.enqueue(text.str());
    }

private:
    LineWriter m_writer{STDOUT_FILENO, kLogQueueLines};
};

log4cplus::Logger &projectLogger()
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
        LOG4CPLUS_INFO(projectLogger(),
                       "event=" << event << " host=" << m_host << " zone=" << m_zone << " " << loggable(detail));
    }

private:
    std::string m_host;
    std::string m_zone;
};

} // namespace

std::string loggable(std::string_view text)
{
    text = text.substr(0, kMaxLogDetailBytes);
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        const bool isControl = static_cast<unsigned char>(text.front()) < ' ' || text.front() == '\x7f';
        const std::size_t bytes = isControl ? 0 : utf8CharacterBytes(text);
        if (bytes == 0) {
            result += '?';
        } else {
            result += text.substr(0, bytes);
        }
        text.remove_prefix(std::max<std::size_t>(bytes, 1));
    }
    return result;
}

void startLogging(std::string_view level)
{
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(new QueueAppender);
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n")));
    log4cplus::Logger::getRoot().addAppender(appender);
    setLogLevel(level);
}

void setLogLevel(std::string_view level)
{
    std::string upperCaseLevel(level);
    for (char &c : upperCaseLevel) {
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    log4cplus::Logger::getRoot().setLogLevel(log4cplus::getLogLevelManager().fromString(upperCaseLevel));
}

void stopLogging()
{
    log4cplus::Logger::getRoot().removeAllAppenders();
}

std::unique_ptr<EventLog> makeEventLog(std::string host, std::string zone)
{
    return std::make_unique<Log4cplusEventLog>(std::move(host), std::move(zone));
}

bool DecisionLog::admitFailure(TimeMs now)
{
    const std::int64_t second = now / kMsPerSecond;
    std::int64_t loggedSecond = m_currentSecond.load(std::memory_order_relaxed);
    if (loggedSecond != second
        && m_currentSecond.compare_exchange_strong(loggedSecond, second, std::memory_order_relaxed)) {
        m_linesThisSecond.store(0, std::memory_order_relaxed);
        const std::uint32_t droppedLines = m_droppedLines.exchange(0, std::memory_order_relaxed);
        if (droppedLines > 0) {
            LOG4CPLUS_INFO(projectLogger(), "event=decisions-left-out count=" << droppedLines);
        }
    }
    if (m_linesThisSecond.fetch_add(1, std::memory_order_relaxed) < kMaxLinesPerSecond) {
        return true;
    }
    m_droppedLines.fetch_add(1, std::memory_order_relaxed);
    return false;
}

bool DecisionLog::sampleAnswered()
{
    return m_answeredCount.fetch_add(1, std::memory_order_relaxed) % kAnsweredSampleInterval == 0;
}

void DecisionLog::write(std::string_view detail)
{
    LOG4CPLUS_INFO(projectLogger(), "event=decision " << loggable(detail));
}

} // namespace fulmarledge
