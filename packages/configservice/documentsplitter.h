#pragma once

#include "configservice/documentmanifest.h"

#include <QByteArray>
#include <QString>

#include <map>

namespace Rattanpick
{

/// The values that operators store for one document.
struct SplitDocument
{
    /// The value `document`; to be stored last, so that readers find every part that it names.
    QByteArray value;
    /// Values of the parts by name; empty if the document fits in one value.
    std::map<QString, QByteArray> parts;
};

/// Splits a document into values of at most @p maximumBytes each; @p version is the number of the document.
SplitDocument splitDocument(const QByteArray &text, quint64 version, qsizetype maximumBytes = maximumValueBytes);

}
