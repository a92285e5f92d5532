#include "operators/documentreader.h"
#include "spread/configurationstore.h"

namespace Rattanpick
{

DocumentParser documentReaderParser()
{
    return [](const QByteArray &text) {
        DocumentReader reader(QStringLiteral("document"));
        const ConfigurationPointer configuration = reader.read(text);
        return ParsedDocument{configuration, reader.findings()};
    };
}

}
