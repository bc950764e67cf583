#include "turns/turnmessages.h"

#include <limits>

namespace briarhinge::turns
{

namespace
{

std::uint32_t clampTo32Bits(base::Tokens tokens)
{
    constexpr std::uint64_t maxValue = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(tokens.value(), maxValue));
}

}

wire::TurnRecordT toWire(const Turn &turn)
{
    wire::TurnRecordT record;
    record.id = turn.id.value();
    record.parent = turn.parent.value();
    record.input = turn.input;
    record.output = turn.output;
    record.engine = turn.engine;
    return record;
}

Turn fromWire(const wire::TurnRecordT &record)
{
    return {TurnId(record.id), TurnId(record.parent), record.input, record.output, record.engine};
}

Turn fromWire(const wire::TurnRecord &record)
{
    return {TurnId(copyString(record.id())), TurnId(copyString(record.parent())), copyString(record.input()),
            copyString(record.output()), copyString(record.engine())};
}

std::string copyString(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

wire::BudgetEntryT toWire(const BudgetEntry &entry)
{
    wire::BudgetEntryT packed;
    packed.attempt = entry.attempt.value();
    packed.most = clampTo32Bits(entry.maxTokens);
    packed.settled = entry.isSettled;
    packed.spent = clampTo32Bits(entry.spent);
    return packed;
}

BudgetEntry fromWire(const wire::BudgetEntryT &entry)
{
    return {AttemptId(entry.attempt), base::Tokens(entry.most), entry.settled, base::Tokens(entry.spent)};
}

BudgetEntry fromWire(const wire::BudgetEntry &entry)
{
    return {AttemptId(copyString(entry.attempt())), base::Tokens(entry.most()), entry.settled(),
            base::Tokens(entry.spent())};
}

}
