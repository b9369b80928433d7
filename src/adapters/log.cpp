#include "log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace fulmarledge {

namespace {

class Log4cplusEventLog : public EventLog
{
public:
    Log4cplusEventLog(std::string host, std::string zone)
        : m_logger(log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("fulmarledge")))
        , m_host(std::move(host))
        , m_zone(std::move(zone))
    {
    }

    void event(std::string_view event, std::string_view detail) override
    {
        LOG4CPLUS_INFO(m_logger, "event=" << event << " host=" << m_host << " zone=" << m_zone << " " << detail);
    }

private:
    log4cplus::Logger m_logger;
    std::string m_host;
    std::string m_zone;
};

} // namespace

void startLogging(std::string_view level)
{
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
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

std::unique_ptr<EventLog> makeEventLog(std::string host, std::string zone)
{
    return std::make_unique<Log4cplusEventLog>(std::move(host), std::move(zone));
}

} // namespace fulmarledge
