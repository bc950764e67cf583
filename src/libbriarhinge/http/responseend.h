#pragma once

#include <string_view>

namespace briarhinge::http
{

/** What delimits the body of a response. */
enum class Framing {
    /** There is no body: a response to a HEAD request, or a status that has none. */
    None,
    Length,
    Chunks,
    /** Neither a length nor chunks: the body ends with the connection. */
    UntilClose,
};

/** Why no more of a response is received. */
enum class Ending {
    /** Its framing states that it is whole. */
    Delimited,
    /** The server closed the connection without an error. */
    Closed,
    /** The connection was reset or failed otherwise. */
    Lost,
    /** The received bytes are not a valid response, or exceed a limit. */
    Invalid,
};

/** How the receipt of a response ended. */
struct ResponseEnd
{
    /** Whether the head of the final response was received whole. */
    bool hasHead = false;
    Framing framing = Framing::None;
    Ending ending = Ending::Lost;
};

/** @param framing the framing of a response @return its name in log lines */
std::string_view framingName(Framing framing);

/** @param ending the ending of a response @return its name in log lines */
std::string_view endingName(Ending ending);

}
