#include "state/recordcodec.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

template <class Typed>
rc::Gen<Typed> typed()
{
    using Value = std::decay_t<decltype(std::declval<Typed>().value())>;
    return rc::gen::map(rc::gen::arbitrary<Value>(), [](Value value) {
        return Typed(std::move(value));
    });
}

core::Amounts anyAmounts()
{
    return {*typed<base::Tokens>(), *typed<base::MicroMoney>(), *rc::gen::arbitrary<std::uint32_t>()};
}

core::CallRequest anyRequest()
{
    core::CallRequest request;
    request.number = *typed<base::CallNumber>();
    request.kind = *rc::gen::element(core::CallKind::Model, core::CallKind::Tool);
    request.target = *typed<base::TargetName>();
    request.input = *rc::gen::arbitrary<std::string>();
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.maxTokens = *typed<base::Tokens>();
    request.maxCost = *typed<base::MicroMoney>();
    if (*rc::gen::arbitrary<bool>()) {
        request.extends = *typed<base::Digest>();
    }
    return request;
}

core::Outcome anyOutcome()
{
    const auto text = *rc::gen::arbitrary<std::string>();
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        return core::Completed{
            text, {*typed<base::Tokens>(), *typed<base::Tokens>(), *typed<base::Tokens>(), *typed<base::MicroMoney>()}};
    case 1:
        return core::NotRun{text, base::Milliseconds(*rc::gen::arbitrary<std::int32_t>())};
    case 2:
        return core::Failed{text};
    default:
        return core::Unknown{text};
    }
}

core::Record anyRecord()
{
    const base::ProgramId id = *typed<base::ProgramId>();
    switch (*rc::gen::inRange(0, 7)) {
    case 0: {
        core::ProgramOpened opened{{id, *typed<base::KindName>(), *typed<base::AccountId>(), std::nullopt},
                                   {*rc::gen::arbitrary<std::int32_t>(), anyAmounts(), base::Milliseconds(7)},
                                   base::Timestamp(base::Milliseconds(*rc::gen::arbitrary<std::int64_t>())),
                                   anyAmounts()};
        if (*rc::gen::arbitrary<bool>()) {
            opened.spec.parent = *typed<base::ProgramId>();
        }
        return opened;
    }
    case 1:
        return core::BudgetGranted{id, anyAmounts()};
    case 2:
        return core::CallClaimed{id, anyRequest()};
    case 3:
        return core::ClaimWithdrawn{id, *typed<base::CallNumber>()};
    case 4:
        return core::TurnFinished{id, anyRequest(), anyOutcome()};
    case 5:
        return core::ProgramEnded{id};
    default:
        return core::BudgetState{id, anyAmounts(), anyAmounts(), *rc::gen::arbitrary<bool>()};
    }
}

}

TEST_GROUP(RecordCodec){};

TEST(RecordCodec, everyRecordComesBackAsItWasWritten)
{
    CHECK(rc::check("a record survives its codec", [] {
        const core::Record record = anyRecord();
        const auto decoded = state::decodeRecord(state::encodeRecord(record));
        RC_ASSERT(std::holds_alternative<core::Record>(decoded));
        RC_ASSERT(std::get<core::Record>(decoded) == record);
    }));
}

TEST(RecordCodec, everyBatchComesBackAsItWasWritten)
{
    CHECK(rc::check("a batch survives its codec", [] {
        state::LogBatch batch{"entry-0/7", false, {}};
        std::vector<std::string> encoded;
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
            batch.records.push_back(anyRecord());
            encoded.push_back(state::encodeRecord(batch.records.back()));
        }
        const auto decoded = state::decodeBatch(state::encodeBatch(batch.nonce, encoded));
        RC_ASSERT(std::get<state::LogBatch>(decoded) == batch);
    }));
}

TEST(RecordCodec, badInputIsAnError)
{
    CHECK(rc::check("any text is a record or an error", [] {
        std::string text = state::encodeRecord(anyRecord());
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
        state::decodeRecord(text);
        state::decodeBatch(text.substr(0, at));
    }));
    CHECK(std::holds_alternative<state::CodecError>(state::decodeRecord("{}")));
    CHECK(std::holds_alternative<state::CodecError>(state::decodeRecord(R"({"type":"poem"})")));
    CHECK(std::holds_alternative<state::CodecError>(state::decodeBatch("[")));
}

TEST(RecordCodec, aSealIsKnownAsSuch)
{
    const auto decoded = state::decodeBatch(state::encodeSeal("entry-1"));
    CHECK(std::get<state::LogBatch>(decoded).seal);
}
