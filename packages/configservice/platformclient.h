#pragma once

#include "configservice/instance.h"
#include "configservice/platformclientsettings.h"

#include <QByteArray>
#include <QString>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// A value of the platform with its revision.
struct PlatformValue
{
    /// The revision of the value, which increases with each change.
    quint64 revision = 0;
    /// False if the watch timed out without a change; the value is empty in that case.
    bool isChanged = false;
    QByteArray value;
};

/// The instance list of the platform with its revision.
struct PlatformInstances
{
    quint64 revision = 0;
    /// False if the watch timed out without a change; the list is empty in that case.
    bool isChanged = false;
    InstanceList instances;
};

/// Reads and watches the platform's configuration service by HTTP long polling.
///
/// Calls block the calling thread, so each watch needs a client and a thread of its own. A call tries the endpoints
/// in turn until one replies; the next call starts with that endpoint.
class PlatformClient
{
public:
    /// Creates a client without connecting it.
    explicit PlatformClient(const PlatformClientSettings &settings);
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Waits until the revision of the value differs from @p afterRevision; 0 returns the current value immediately.
    /// Returns nothing on failure.
    std::optional<PlatformValue> value(const QString &name, quint64 afterRevision);

    /// Like value(), for the operators' document, assembled from its parts. Returns nothing if a part is missing or
    /// does not match its digest.
    std::optional<PlatformValue> document(quint64 afterRevision);

    /// Waits until the revision of the instance list differs from @p afterRevision; 0 returns the current list
    /// immediately. Returns nothing on failure.
    std::optional<PlatformInstances> instances(quint64 afterRevision);

    /// Makes the current and all later calls fail immediately. Thread-safe.
    void cancel();

    /// The error message of the last failed call.
    const QString &lastError() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
