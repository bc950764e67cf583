#include "http/responseend.h"

namespace briarhinge::http
{

Completeness completeness(const ResponseEnd &end, ContentEnd content)
{
    if (!end.hasHead || end.ending == Ending::Lost || end.ending == Ending::Invalid
        || content == ContentEnd::InsideItem) {
        return Completeness::BrokenOff;
    }
    if (end.ending == Ending::Delimited) {
        return Completeness::Complete;
    }
    if (end.framing != Framing::UntilClose || content == ContentEnd::BeforeFirstItem) {
        return Completeness::BrokenOff;
    }
    return content == ContentEnd::Stated ? Completeness::Complete : Completeness::CompleteIfServerLives;
}

std::string_view framingName(Framing framing)
{
    switch (framing) {
    case Framing::None:
        return "none";
    case Framing::Length:
        return "length";
    case Framing::Chunks:
        return "chunks";
    case Framing::UntilClose:
        break;
    }
    return "until-close";
}

std::string_view endingName(Ending ending)
{
    switch (ending) {
    case Ending::Delimited:
        return "delimited";
    case Ending::Closed:
        return "closed";
    case Ending::Lost:
        return "lost";
    case Ending::Invalid:
        break;
    }
    return "invalid";
}

}
