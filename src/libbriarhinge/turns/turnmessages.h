#pragma once

#include "frames_generated.h"
#include "turns/budgetledger.h"
#include "turns/turn.h"

namespace briarhinge::turns
{

/** @param turn a turn @return it as it travels */
wire::TurnRecordT toWire(const Turn &turn);

/** @param record a turn as it travelled @return the turn */
Turn fromWire(const wire::TurnRecordT &record);

/** @param record a record that is read in place @return the turn */
Turn fromWire(const wire::TurnRecord &record);

/** @param entry an attempt @return it as it travels */
wire::BudgetEntryT toWire(const BudgetEntry &entry);

/** @param entry an attempt as it travelled @return the attempt */
BudgetEntry fromWire(const wire::BudgetEntryT &entry);

/** @param entry an entry that is read in place @return the entry */
BudgetEntry fromWire(const wire::BudgetEntry &entry);

/** @param text a text of a record that is read in place, or nothing @return a copy */
std::string textOf(const flatbuffers::String *text);

}
