#pragma once

namespace Rattanpick
{

/// File name of the module without the suffix of the system; it is installed next to the program.
inline constexpr char messageModuleName[] = "librattanpick_messages";

/// Name of the only function that the module exports.
inline constexpr char messageModuleEntry[] = "rattanpickRunMessageMode";

/// Arguments of the module function.
struct MessageModeOptions
{
    const char *settingsFile = nullptr;
    /// Document to start with, or null.
    const char *documentFile = nullptr;
    bool isBalancer = false;
    /// Check the settings and exit.
    bool isCheckOnly = false;
};

/// Runs a process of the message mode and returns its exit code.
using MessageModeEntry = int (*)(const MessageModeOptions *options);

}
