#pragma once

#include "frames_generated.h"
#include "turns/budgetledger.h"
#include "turns/turn.h"

namespace briarhinge::turns
{

/** @return @p turn in its wire format */
wire::TurnRecordT toWire(const Turn &turn);

/** @return the turn from its unpacked wire format */
Turn fromWire(const wire::TurnRecordT &record);

/** @return the turn from its wire format, read in place */
Turn fromWire(const wire::TurnRecord &record);

/** @return @p entry in its wire format; token counts are limited to 32 bits */
wire::BudgetEntryT toWire(const BudgetEntry &entry);

/** @return the budget entry from its unpacked wire format */
BudgetEntry fromWire(const wire::BudgetEntryT &entry);

/** @return the budget entry from its wire format, read in place */
BudgetEntry fromWire(const wire::BudgetEntry &entry);

/** @return a copy of @p text, or an empty string if it is null */
std::string copyString(const flatbuffers::String *text);

}
