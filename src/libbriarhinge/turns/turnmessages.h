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

/** @param entry an attempt @return it as it travels */
wire::BudgetEntryT toWire(const BudgetEntry &entry);

/** @param entry an attempt as it travelled @return the attempt */
BudgetEntry fromWire(const wire::BudgetEntryT &entry);

}
