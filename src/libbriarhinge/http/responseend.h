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

/** Where a response ends in its own content. */
enum class ContentEnd {
    /** The content does not show where it ends. */
    Unknown,
    /** The content states its end itself, as a JSON document does. */
    Stated,
    /** Within one of the items that the content consists of. */
    InsideItem,
    /** After a whole item. */
    BetweenItems,
    /** Before the first item. */
    BeforeFirstItem,
};

/** What the end of a response proves. */
enum class Completeness {
    Complete,
    /**
     * Nothing is missing if the server ended the response by itself; if its process ended, something may be missing.
     */
    CompleteIfServerLives,
    BrokenOff,
};

/**
 * Decides whether a response is whole. All readers of responses go by this.
 *
 * @param end how the receipt of the response ended
 * @param content where that is in its content
 * @return what that proves
 */
Completeness completeness(const ResponseEnd &end, ContentEnd content);

/** @param framing the framing of a response @return its name in log lines */
std::string_view framingName(Framing framing);

/** @param ending the ending of a response @return its name in log lines */
std::string_view endingName(Ending ending);

}
