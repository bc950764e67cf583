#pragma once

namespace briarhinge::ctl
{

/** How the tool ends; docs/OPERATIONS.md lists these for scripts. */
enum class ExitCode {
    Ok = 0,
    /** A service could not be asked or answered with an error; nothing was changed. */
    Failed = 1,
    /** The command line is wrong. */
    Usage = 2,
    /** The declaration has faults; nothing was changed. */
    BadDeclaration = 3,
    /** Another operator changed the configuration first; nothing was changed. */
    LostRace = 4,
    /** The change may have been made: no answer came. The same command with the same nonce finds out. */
    Unresolved = 5,
    /** The change was made, but not every process has it in force yet. */
    NotInForce = 6,
};

}
