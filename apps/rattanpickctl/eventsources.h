#pragma once

#include "core/event.h"
#include "processoptions.h"

#include <QStringList>

namespace Rattanpick
{

/// The events that a command works on, and what they may lack.
struct CollectedEvents
{
    QList<Event> events;
    /// One line for each gap.
    QStringList gaps;
    /// Whether a process did not answer.
    bool isAnswerMissing = false;
};

/// The options that name events: files, processes and a span of time.
class EventSources
{
public:
    /// Adds the options, which are kept in this object.
    void addTo(CLI::App &command);

    /// Reads files and asks processes; nothing with a line on @p err if an option is wrong or a file cannot be read.
    std::optional<CollectedEvents> collect(QTextStream &err) const;

private:
    ProcessOptions m_processes;
    std::vector<std::string> m_files;
    std::string m_from;
    std::string m_to;
};

}
