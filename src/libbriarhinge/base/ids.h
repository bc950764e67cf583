#pragma once

#include "base/strongtype.h"

#include <cstdint>
#include <string>

namespace briarhinge::base
{

/** Identifies a program; chosen by the caller and unique in the deployment. */
using ProgramId = StrongType<struct ProgramIdTag, std::string>;
/** Name of a declared kind of program. */
using KindName = StrongType<struct KindNameTag, std::string>;
/** Identifies a client account. */
using AccountId = StrongType<struct AccountIdTag, std::string>;
/** Position of a call in its program, starting at 1. */
using CallNumber = StrongType<struct CallNumberTag, std::uint32_t>;
/** Name of the model or tool that a call uses. */
using TargetName = StrongType<struct TargetNameTag, std::string>;
/** Identifies one incarnation of a process; unique for each start. */
using ProcessId = StrongType<struct ProcessIdTag, std::string>;
/** Name of an availability zone. */
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
/** Name of a pool of upstreams. */
using PoolName = StrongType<struct PoolNameTag, std::string>;
/** Revision of the configuration; higher revisions replace lower ones. */
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
/** Fencing token of an ownership; increases with each change of owner. */
using Term = StrongType<struct TermTag, std::uint64_t>;
/** Identifies one of the fixed number of partitions to which programs are hashed. */
using PartitionId = StrongType<struct PartitionIdTag, std::uint32_t>;

}
