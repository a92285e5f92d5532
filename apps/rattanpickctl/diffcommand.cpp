#include "command.h"
#include "files.h"

#include "operators/documentdiff.h"

namespace Rattanpick
{

namespace
{

class DiffCommand : public Command
{
public:
    CLI::App *addTo(CLI::App &program) override
    {
        CLI::App *command = program.add_subcommand("diff", "Print the sections and keys that differ between two documents");
        command->add_option("earlier", m_earlier, "The earlier document")->required()->type_name("A");
        command->add_option("later", m_later, "The later document")->required()->type_name("B");
        return command;
    }

    ExitCode run(QTextStream &out, QTextStream &err) override
    {
        const std::optional<QByteArray> earlier = readFile(m_earlier, err);
        const std::optional<QByteArray> later = readFile(m_later, err);
        if (!earlier.has_value() || !later.has_value()) {
            return ExitCode::Usage;
        }
        const DocumentDiff diff(*earlier, *later);
        for (const DocumentChange &change : diff.changes()) {
            out << change.toString() << '\n';
        }
        return diff.changes().isEmpty() ? ExitCode::Success : ExitCode::Findings;
    }

private:
    std::string m_earlier;
    std::string m_later;
};

}

std::unique_ptr<Command> makeDiffCommand()
{
    return std::make_unique<DiffCommand>();
}

}
