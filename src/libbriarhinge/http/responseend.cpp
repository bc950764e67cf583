#include "http/responseend.h"

namespace briarhinge::http
{

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
