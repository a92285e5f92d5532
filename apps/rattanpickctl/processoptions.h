#pragma once

#include "core/endpoint.h"

#include <CLI/CLI.hpp>

#include <QList>
#include <QTextStream>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Rattanpick
{

/// Options that select the processes to query: --admin, --instances and --timeout.
class ProcessOptions
{
public:
    /// Adds the options; their values are stored in this object.
    void addTo(CLI::App &command);

    /// The selected admin interfaces; nothing, with a line on @p err, if an endpoint is invalid or a file cannot be read.
    std::optional<QList<Endpoint>> endpoints(QTextStream &err) const;

    /// Timeout of one call.
    std::chrono::milliseconds timeout() const
    {
        return std::chrono::milliseconds(m_timeoutMilliseconds);
    }

private:
    std::vector<std::string> m_admins;
    std::string m_instancesFile;
    int m_timeoutMilliseconds = 2000;
};

}
