#pragma once

#include "configservice/instance.h"
#include "configservice/platformclientsettings.h"

#include <QByteArray>
#include <QString>

#include <memory>
#include <optional>

namespace Rattanpick
{

/// A value of the platform at a revision.
struct PlatformValue
{
    /// The revision of the value; rises at each change.
    quint64 revision = 0;
    /// False if the watch ended without a change; then the value is empty.
    bool isChanged = false;
    QByteArray value;
};

/// The instance list of the platform at a revision.
struct PlatformInstances
{
    quint64 revision = 0;
    /// False if the watch ended without a change; then the list is empty.
    bool isChanged = false;
    InstanceList instances;
};

/// Reads and watches the platform's configuration service by HTTP long poll.
///
/// Calls block the calling thread, so that each watch needs a client and a thread of its own. Endpoints that fail are skipped: the next call starts with the
/// one that answered last.
class PlatformClient
{
public:
    /// Builds a client; nothing is sent yet.
    explicit PlatformClient(const PlatformClientSettings &settings);
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Waits until the value has another revision than @p afterRevision (0: answers at once); nothing on failure.
    std::optional<PlatformValue> value(const QString &name, quint64 afterRevision);

    /// Like value() for the operators' document, put together from its parts; nothing unless every part fits.
    std::optional<PlatformValue> document(quint64 afterRevision);

    /// Waits until the instance list has another revision than @p afterRevision (0: answers at once).
    std::optional<PlatformInstances> instances(quint64 afterRevision);

    /// Makes the current and all later calls fail at once; may be called from any thread.
    void cancel();

    /// Why the latest call failed.
    const QString &lastError() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
