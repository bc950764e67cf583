#include "placement/crash.h"

#include "base/prefixhasher.h"

namespace briarhinge::placement
{

base::Digest contentDigest(const RequestContent &content)
{
    base::PrefixHasher hasher;
    hasher.appendField(content.target);
    hasher.append(content.history);
    hasher.append(content.input);
    return hasher.digest();
}

CrashedRequest crashedRequest(const RequestContent &content)
{
    // Every prompt begins with an empty one.
    return {contentDigest(content), content.size(), content.isPrompt && content.size() > 0};
}

}
