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

/// The options that name processes to ask: --admin, --instances and --timeout.
class ProcessOptions
{
public:
    /// Adds the options, which are kept in this object.
    void addTo(CLI::App &command);

    /// The admin interfaces named; nothing with a line on @p err if a text is no endpoint or a file cannot be read.
    std::optional<QList<Endpoint>> endpoints(QTextStream &err) const;

    /// The longest time of one call.
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
