#include "core/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <memory>

namespace Rattanpick
{

namespace
{

void addConsoleAppender(log4cplus::Logger logger, const char *pattern, LogStream stream)
{
    const bool toStandardError = stream == LogStream::StandardError;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    logger.removeAllAppenders();
    logger.addAppender(appender);
}

}

void setUpLogging(EventLevel level, LogStream stream)
{
    setLogLevel(level);
    addConsoleAppender(log4cplus::Logger::getRoot(), "%D{%Y-%m-%dT%H:%M:%S.%q} %p %c %m%n", stream);

    log4cplus::Logger events = log4cplus::Logger::getInstance("rattanpick.event");
    events.setAdditivity(false);
    addConsoleAppender(events, "%m%n", stream);
}

void setLogLevel(EventLevel level)
{
    constexpr std::array levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
    log4cplus::Logger::getRoot().setLogLevel(levels.at(static_cast<std::size_t>(level)));
}

}
