#pragma once

#include "config/activeconfiguration.h"
#include "core/program.h"

#include <optional>

namespace briarhinge::config
{

/**
 * Provides the limits of each kind of program from the active configuration.
 *
 * @tparam FallbackT provides the policies until a first configuration is accepted
 */
template <class FallbackT>
class DeclaredPolicies
{
public:
    /** @param activeConfiguration the active configuration; must outlive this object */
    explicit DeclaredPolicies(const ActiveConfiguration &activeConfiguration)
        : m_activeConfiguration(activeConfiguration)
    {
    }

    /**
     * @param kind name of a kind of program
     * @return the limits of that kind; no value when it is not declared
     */
    std::optional<core::KindPolicy> policyForKind(const base::KindName &kind) const
    {
        const auto active = m_activeConfiguration.current();
        if (!active || active->revision == base::Revision(0)) {
            return m_fallback.policyForKind(kind);
        }
        const KindDeclaration *declared = findKind(active->declaration, kind);
        if (declared == nullptr) {
            return std::nullopt;
        }
        return core::KindPolicy{declared->priority, declared->budget, declared->wallTime};
    }

private:
    const ActiveConfiguration &m_activeConfiguration;
    FallbackT m_fallback;
};

}
