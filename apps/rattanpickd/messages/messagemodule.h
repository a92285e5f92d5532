#pragma once

namespace Rattanpick
{

/// File name of the module without the system's ending; it lies beside the program.
inline constexpr char messageModuleName[] = "librattanpick_messages";

/// Name of the module's only function.
inline constexpr char messageModuleEntry[] = "rattanpickRunMessageMode";

/// What the program asks of the module.
struct MessageModeOptions
{
    const char *settingsFile = nullptr;
    /// A document to start with, or null.
    const char *documentFile = nullptr;
    bool isBalancer = false;
    /// Check the settings and stop.
    bool isCheckOnly = false;
};

/// Runs a process of the message mode; the exit code.
using MessageModeEntry = int (*)(const MessageModeOptions *options);

}
