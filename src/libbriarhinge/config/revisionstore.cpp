#include "config/revisionstore.h"

#include <fmt/format.h>

namespace briarhinge::config
{

std::string revisionKey(base::Revision revision)
{
    return fmt::format("{}{:012}", revisionPrefix, revision.value());
}

}
