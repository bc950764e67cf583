#pragma once

#include "base/strongtype.h"

#include <cstdint>
#include <string>

namespace briarhinge::base
{

/** Names a program; given by the caller, unique in the deployment. */
using ProgramId = StrongType<struct ProgramIdTag, std::string>;
/** Names the declared kind of a program. */
using KindName = StrongType<struct KindNameTag, std::string>;
/** Names a client account. */
using AccountId = StrongType<struct AccountIdTag, std::string>;
/** Position of a call in its program, from 1. */
using CallNumber = StrongType<struct CallNumberTag, std::uint32_t>;
/** Names a model or a tool: what a call asks for. */
using TargetName = StrongType<struct TargetNameTag, std::string>;
/** Names one process of the system, unique for each start of it. */
using ProcessId = StrongType<struct ProcessIdTag, std::string>;
/** Names an availability zone. */
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
/** Names a pool of upstreams. */
using PoolName = StrongType<struct PoolNameTag, std::string>;
/** Revision of the configuration; a higher one replaces a lower one. */
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
/** Fencing number of an ownership; grows with each change of owner. */
using Term = StrongType<struct TermTag, std::uint64_t>;
/** One of the fixed number of groups that programs hash to. */
using PartitionId = StrongType<struct PartitionIdTag, std::uint32_t>;

}
