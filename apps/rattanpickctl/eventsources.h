#pragma once

#include "core/event.h"
#include "processoptions.h"

#include <QStringList>

namespace Rattanpick
{

/// Input events of a command, with the gaps in them.
struct CollectedEvents
{
    QList<Event> events;
    /// Description of each gap.
    QStringList gaps;
    /// Whether at least one process did not answer.
    bool isAnswerMissing = false;
};

/// Options that select events: files, processes and a time range.
class EventSources
{
public:
    /// Adds the options; their values are stored in this object.
    void addTo(CLI::App &command);

    /// Reads the files and queries the processes; nothing, with a line on @p err, if an option is invalid or a file
    /// cannot be read.
    std::optional<CollectedEvents> collect(QTextStream &err) const;

private:
    ProcessOptions m_processes;
    std::vector<std::string> m_files;
    std::string m_from;
    std::string m_to;
};

}
