// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A random step of a property test.

#ifndef BEACONGATE_TESTS_STEP_H
#define BEACONGATE_TESTS_STEP_H

#include <cstdint>
#include <ostream>
#include <rapidcheck.h>

namespace beacongate::test
{
/// One step: a kind of event and two numbers that select its targets.
struct Step
{
	std::uint8_t kind = 0;
	std::uint8_t a = 0;
	std::uint8_t b = 0;
};

inline std::ostream& operator<<(std::ostream& _stream, const Step& _step)
{
	return _stream << '{' << int{_step.kind} << ',' << int{_step.a} << ',' << int{_step.b} << '}';
}

} // namespace beacongate::test

namespace rc
{
template <> struct Arbitrary<beacongate::test::Step>
{
	static Gen<beacongate::test::Step> arbitrary()
	{
		using beacongate::test::Step;
		return gen::build<Step>(gen::set(&Step::kind), gen::set(&Step::a), gen::set(&Step::b));
	}
};
} // namespace rc

#endif // BEACONGATE_TESTS_STEP_H
