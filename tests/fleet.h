// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Entry cores with a pool of messages and a pool of attempts, in virtual time. The test decides every
/// event: which message is delivered, lost or duplicated, how an attempt ends, which entry freezes or
/// dies. Nothing happens without a call of the test.

#ifndef BEACONGATE_TESTS_FLEET_H
#define BEACONGATE_TESTS_FLEET_H

#include "coordination/entrycore.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace beacongate::test
{
/// How a test ends or continues an attempt.
enum class Ending
{
	Answer,      ///< It runs, and the answer arrives.
	RunThenLose, ///< It runs, and the answer is lost.
	NotSent,     ///< The connection was refused.
	NotAccepted, ///< The backend server did not take it.
	Token,       ///< Model: one more token.
};

/// What a caller has received so far.
struct CallerView
{
	std::string key;
	std::string expected;   ///< Body of the correct answer (plain).
	std::uint64_t next = 0; ///< Index of the next token that it expects.
	bool ordered = true;    ///< Every token so far was the expected one.
	std::vector<Outcome> finals;
	std::string body;
	Failure failure = Failure::Internal;
	bool model = false;
	std::uint64_t tokenCount = 0;
	std::string movedKey; ///< Key to reattach with, if the request moved to another entry.
	Micros answeredAt = 0;
};

class Fleet
{
public:
	/// One simulated entry process.
	struct Node
	{
		std::unique_ptr<EntryCore> core;
		bool frozen = false;
		bool dead = false;
		std::vector<Event> held; ///< Events held back while the node is frozen.
	};

	/// An attempt that was sent to a backend server.
	struct Sent
	{
		std::size_t node = 0;
		EntryRef run; ///< Run that opened the connection; answers reach only this run.
		StartAttempt start;
		std::uint64_t next = 0;
		bool cancelled = false;
	};

	/// A message between entries.
	struct PendingMessage
	{
		EntryRef from;
		EntryRef to;
		PeerMessage message;
	};

	explicit Fleet(std::size_t _nodes, std::size_t _backends = 3, std::uint32_t _slots = 4)
	{
		auto config = std::make_shared<Config>();
		config->version = 1;
		config->teams.push_back(TeamConfig{"a", "ta", 1.0, 1000});
		config->teams.push_back(TeamConfig{"b", "tb", 1.0, 1000});
		config->services.push_back(ServiceConfig{"log", ServiceKind::Plain, false, 0});
		config->services.push_back(ServiceConfig{"m", ServiceKind::Model, true, 0});
		for (std::size_t ii = 0; ii < _backends; ++ii)
		{
			for (const char* service : {"log", "m"})
			{
				BackendConfig backend;
				backend.id = service + std::to_string(ii);
				backend.service = service;
				backend.vm = "vm" + std::to_string(ii);
				backend.dataCentre = "dc" + std::to_string(ii % 2);
				backend.slots = _slots;
				config->backends.push_back(backend);
			}
		}
		m_config = config;
		auto roster = std::make_shared<Roster>();
		for (std::size_t ii = 0; ii < _nodes; ++ii)
		{
			roster = std::make_shared<Roster>(*withJoined(*roster, member(ii, 1)));
		}
		rosters.push_back(roster);
		for (std::size_t ii = 0; ii < _nodes; ++ii)
		{
			nodes.emplace_back();
			boot(ii, 1);
			giveRoster(ii, 0);
		}
		settle();
	}

	static EntryRef ref(std::size_t _node, std::uint64_t _incarnation)
	{
		return EntryRef{"e" + std::to_string(_node), _incarnation};
	}

	static RosterMember member(std::size_t _node, std::uint64_t _incarnation)
	{
		RosterMember created;
		created.entry = ref(_node, _incarnation);
		created.peerAddress = Address{"127.0.0.1", static_cast<std::uint16_t>(1000 + _node)};
		created.vm = "vm-e" + std::to_string(_node);
		return created;
	}

	EntryRef self(std::size_t _node) const
	{
		return nodes[_node].core->settings().self;
	}

	/// Starts a new run of an entry.
	void boot(std::size_t _node, std::uint64_t _incarnation)
	{
		EntrySettings settings;
		settings.self = ref(_node, _incarnation);
		settings.seed = _node + 1;
		Node& node = nodes[_node];
		node.core = std::make_unique<EntryCore>(settings);
		node.frozen = false;
		node.dead = false;
		node.held.clear();
		Snapshot snapshot;
		snapshot.config = m_config;
		send(_node, SnapshotArrived{snapshot});
	}

	/// Delivers a roster version to an entry, as its control does.
	void giveRoster(std::size_t _node, std::size_t _index)
	{
		Snapshot snapshot;
		snapshot.roster = rosters[_index];
		send(_node, SnapshotArrived{snapshot});
	}

	/// Adds the next roster version, as if written to the store.
	void changeRoster(const std::optional<Roster>& _next)
	{
		if (_next.has_value())
		{
			rosters.push_back(std::make_shared<Roster>(*_next));
		}
	}

	const Roster& roster() const
	{
		return *rosters.back();
	}

	void send(std::size_t _node, Event _event)
	{
		Node& node = nodes[_node];
		if (node.dead)
		{
			return;
		}
		if (node.frozen)
		{
			node.held.push_back(std::move(_event));
			return;
		}
		Actions actions;
		node.core->handle(std::move(_event), now, actions);
		for (Action& action : actions)
		{
			handleAction(_node, action);
		}
	}

	void freeze(std::size_t _node)
	{
		nodes[_node].frozen = true;
	}

	void resume(std::size_t _node)
	{
		Node& node = nodes[_node];
		node.frozen = false;
		std::vector<Event> held;
		held.swap(node.held);
		for (Event& event : held)
		{
			send(_node, std::move(event));
		}
	}

	/// Ends the process; attempts that it sent may still run.
	void kill(std::size_t _node)
	{
		nodes[_node].dead = true;
	}

	/// @returns the exchange, a key of `callers`.
	ExchangeId call(std::size_t _node, const std::string& _service, const std::string& _key,
					std::uint64_t _issuedVersion, Micros _deadline = 20 * kSecond, std::uint32_t _maxTokens = 6)
	{
		return call(_node, _service, _key, _key, _issuedVersion, _deadline, _maxTokens, 0);
	}

	/// As above, with a prompt that may differ from the key, and with the first token to send.
	ExchangeId call(std::size_t _node, const std::string& _service, const std::string& _prompt,
					const std::string& _key, std::uint64_t _issuedVersion, Micros _deadline,
					std::uint32_t _maxTokens, std::uint64_t _offset)
	{
		CallerRequest request;
		request.exchange = m_nextExchange++;
		request.token = "ta";
		request.service = _service;
		CallPayload payload;
		payload.kind = "m" == _service ? ServiceKind::Model : ServiceKind::Plain;
		payload.path = "/" + _prompt;
		payload.prompt = "prompt " + _prompt;
		payload.maxTokens = _maxTokens;
		payload.idempotencyKey = _prompt;
		request.payload = std::make_shared<const CallPayload>(payload);
		request.key = _key;
		request.resumeOffset = _offset;
		request.issuedVersion = _issuedVersion;
		request.deadline = _deadline;
		const ExchangeId exchange = request.exchange;
		CallerView& view = callers[exchange];
		view.key = _prompt;
		view.model = "m" == _service;
		view.next = _offset;
		view.expected = "ran " + _prompt;
		note("caller " + std::to_string(exchange) + " -> e" + std::to_string(_node) + ": " + _service + " " +
			 _prompt + (_key.empty() ? "" : " key " + _key) +
			 (0 == _offset ? "" : " from token " + std::to_string(_offset)));
		if (nodes[_node].dead)
		{
			view.finals.push_back(Outcome::NotRun); // Connection refused.
			return exchange;
		}
		send(_node, std::move(request));
		return exchange;
	}

	void tick(Micros _span)
	{
		now += _span;
		for (std::size_t ii = 0; ii < nodes.size(); ++ii)
		{
			if (!nodes[ii].frozen)
			{
				send(ii, Tick{});
			}
		}
	}

	/// Delivers a message of the pool; with _keep it stays there and can be delivered again.
	void deliver(std::size_t _index, bool _keep = false)
	{
		const PendingMessage pending = messages[_index];
		static constexpr const char* kNames[] = {"claim ask", "claim reply", "claim update",  "seal",
												 "seal ack",  "attach ask",  "attach tokens", "attach end",
												 "handover",  "handover ack"};
		std::string detail;
		if (const ClaimReply* reply = std::get_if<ClaimReply>(&pending.message))
		{
			static constexpr const char* kVerdicts[] = {"granted",   "held", "suspect", "not home",
														"not ready", "full", "mismatch"};
			detail = std::string(": ") + kVerdicts[static_cast<std::size_t>(reply->verdict)];
		}
		note(pending.from.id + " -> " + pending.to.id + ": " + kNames[pending.message.index()] + detail);
		if (!_keep)
		{
			messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(_index));
		}
		for (std::size_t ii = 0; ii < nodes.size(); ++ii)
		{
			if (self(ii) == pending.to)
			{
				send(ii, PeerArrived{pending.from, pending.message});
			}
		}
	}

	void end(std::size_t _index, Ending _ending)
	{
		Sent& sent = attempts[_index];
		const StartAttempt& start = sent.start;
		const std::string& key = start.payload->idempotencyKey;
		const bool model = ServiceKind::Model == start.payload->kind;
		if (Ending::Token == _ending)
		{
			if (model && sent.next < start.payload->maxTokens)
			{
				reply(sent, AttemptTokens{start.attempt, sent.next, {token(key, sent.next)}});
				sent.next += 1;
			}
			return;
		}
		const Sent ended = sent;
		attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(_index));
		const bool runs = Ending::Answer == _ending || Ending::RunThenLose == _ending;
		executions[key] += runs ? 1 : 0;
		if (Ending::Answer == _ending)
		{
			for (std::uint64_t ii = ended.next; model && ii < ended.start.payload->maxTokens; ++ii)
			{
				reply(ended, AttemptTokens{ended.start.attempt, ii, {token(key, ii)}});
			}
			const std::uint64_t count = model ? ended.start.payload->maxTokens : 0;
			reply(ended,
				  AttemptDone{ended.start.attempt, 200, "", "ran " + ended.start.payload->idempotencyKey, count});
			return;
		}
		AttemptFault fault = AttemptFault::Broken;
		fault = Ending::NotSent == _ending ? AttemptFault::NotSent : fault;
		fault = Ending::NotAccepted == _ending ? AttemptFault::NotAccepted : fault;
		reply(ended, AttemptFailed{ended.start.attempt, fault, 0, ""});
	}

	/// Delivers all messages and answers all attempts, for a number of rounds.
	void settle(int _rounds = 60, Micros _span = 100 * kMillisecond)
	{
		for (int ii = 0; ii < _rounds; ++ii)
		{
			while (!messages.empty())
			{
				deliver(0);
			}
			while (!attempts.empty())
			{
				end(0, Ending::Answer);
			}
			tick(_span);
		}
	}

	static std::string token(const std::string& _key, std::uint64_t _offset)
	{
		return _key + "." + std::to_string(_offset) + " ";
	}

	/// Adds a line to the transcript.
	void note(const std::string& _text)
	{
		transcript.push_back(std::to_string(now / kMillisecond) + " ms  " + _text);
	}

	std::vector<std::string> transcript; ///< Readable log of events, also compared with golden files.
	Micros now = kSecond;
	std::vector<Node> nodes;
	std::vector<std::shared_ptr<const Roster>> rosters;
	std::vector<PendingMessage> messages;
	std::vector<Sent> attempts;
	std::map<std::string, int> executions;
	std::map<ExchangeId, CallerView> callers;

private:
	void reply(const Sent& _sent, Event _event)
	{
		if (_sent.run == self(_sent.node))
		{
			send(_sent.node, std::move(_event));
		}
	}

	void handleAction(std::size_t _node, Action& _action)
	{
		noteAction(_node, _action);
		if (SendPeer* sendPeer = std::get_if<SendPeer>(&_action))
		{
			messages.push_back(PendingMessage{self(_node), sendPeer->to, std::move(sendPeer->message)});
		}
		else if (StartAttempt* start = std::get_if<StartAttempt>(&_action))
		{
			const std::uint64_t next = nullptr == start->delivered ? 0 : start->delivered->size();
			attempts.push_back(Sent{_node, self(_node), std::move(*start), next, false});
		}
		else if (const CancelAttempt* cancel = std::get_if<CancelAttempt>(&_action))
		{
			// A cancelled attempt may still run, so it stays in the pool.
			for (Sent& sent : attempts)
			{
				sent.cancelled = sent.cancelled || (sent.node == _node && sent.start.attempt == cancel->attempt);
			}
		}
		else if (const AnswerTokens* tokens = std::get_if<AnswerTokens>(&_action))
		{
			CallerView& view = callers[tokens->exchange];
			view.ordered = view.ordered && tokens->offset == view.next;
			for (const std::string& text : tokens->tokens)
			{
				view.ordered = view.ordered && text == token(view.key, view.next);
				view.next += 1;
			}
		}
		else if (const AnswerEnd* end = std::get_if<AnswerEnd>(&_action))
		{
			callers[end->exchange].tokenCount = end->completionTokens;
			finish(end->exchange, Outcome::Done);
		}
		else if (const AnswerWhole* whole = std::get_if<AnswerWhole>(&_action))
		{
			callers[whole->exchange].body = whole->body;
			finish(whole->exchange, Outcome::Done);
		}
		else if (const AnswerMoved* moved = std::get_if<AnswerMoved>(&_action))
		{
			callers[moved->exchange].movedKey = moved->key;
		}
		else if (const AnswerFailure* failure = std::get_if<AnswerFailure>(&_action))
		{
			callers[failure->exchange].failure = failure->failure;
			finish(failure->exchange, failure->outcome);
		}
	}

	void noteAction(std::size_t _node, const Action& _action)
	{
		const std::string entry = "e" + std::to_string(_node);
		if (const StartAttempt* start = std::get_if<StartAttempt>(&_action))
		{
			const std::size_t resumed = nullptr == start->delivered ? 0 : start->delivered->size();
			note(entry + " -> " + start->backend + ": attempt " + std::to_string(start->attempt) + " of " +
				 start->payload->idempotencyKey + (0 == resumed ? "" : " after token " + std::to_string(resumed)));
		}
		else if (const CancelAttempt* cancel = std::get_if<CancelAttempt>(&_action))
		{
			note(entry + " cancels attempt " + std::to_string(cancel->attempt));
		}
		else if (const AnswerTokens* tokens = std::get_if<AnswerTokens>(&_action))
		{
			note(entry + " -> caller " + std::to_string(tokens->exchange) + ": tokens " +
				 std::to_string(tokens->offset) + " to " +
				 std::to_string(tokens->offset + tokens->tokens.size() - 1));
		}
		else if (const AnswerEnd* end = std::get_if<AnswerEnd>(&_action))
		{
			note(entry + " -> caller " + std::to_string(end->exchange) + ": done, " +
				 std::to_string(end->completionTokens) + " tokens");
		}
		else if (const AnswerWhole* whole = std::get_if<AnswerWhole>(&_action))
		{
			note(entry + " -> caller " + std::to_string(whole->exchange) + ": done, '" + whole->body + "'");
		}
		else if (const AnswerMoved* moved = std::get_if<AnswerMoved>(&_action))
		{
			note(entry + " -> caller " + std::to_string(moved->exchange) + ": come back with key " + moved->key);
		}
		else if (const AnswerFailure* failure = std::get_if<AnswerFailure>(&_action))
		{
			note(entry + " -> caller " + std::to_string(failure->exchange) + ": " +
				 std::string(toString(failure->outcome)) + ", " + failure->detail);
		}
	}

	void finish(ExchangeId _exchange, Outcome _outcome)
	{
		callers[_exchange].finals.push_back(_outcome);
		callers[_exchange].answeredAt = now;
	}

	std::shared_ptr<const Config> m_config;
	ExchangeId m_nextExchange = 1;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_FLEET_H
