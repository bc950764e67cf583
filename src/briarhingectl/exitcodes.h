#pragma once

namespace briarhinge::ctl
{

/** Exit codes of the tool; docs/OPERATIONS.md lists these for scripts. */
enum class ExitCode {
    Ok = 0,
    /** A service was unreachable or answered with an error; nothing was changed. */
    Failed = 1,
    /** The command line is invalid. */
    Usage = 2,
    /** The declaration is invalid; nothing was changed. */
    BadDeclaration = 3,
    /** Another operator changed the configuration first; nothing was changed. */
    LostRace = 4,
    /** No response arrived, so the change may have been made. Repeating the command with the same nonce resolves it. */
    Unresolved = 5,
    /** The change was made, but not every process has it in force yet. */
    NotInForce = 6,
};

}
