#pragma once

#include "config/inforce.h"
#include "core/program.h"

#include <optional>

namespace briarhinge::config
{

/**
 * Knows the kinds of programs that the configuration in force declares.
 *
 * @tparam FallbackT the policies before the first configuration is accepted
 */
template <class FallbackT>
class DeclaredPolicies
{
public:
    /** @param inForce the configuration */
    explicit DeclaredPolicies(const InForce &inForce)
        : m_inForce(inForce)
    {
    }

    /** @param kind a kind of program @return its limits; nothing when it is not declared */
    std::optional<core::KindPolicy> policyForKind(const base::KindName &kind) const
    {
        const auto present = m_inForce.current();
        if (!present || present->revision == base::Revision(0)) {
            return m_fallback.policyForKind(kind);
        }
        const KindDeclaration *declared = findKind(present->declaration, kind);
        if (declared == nullptr) {
            return std::nullopt;
        }
        return core::KindPolicy{declared->priority, declared->budget, declared->wallTime};
    }

private:
    const InForce &m_inForce;
    FallbackT m_fallback;
};

}
