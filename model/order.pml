/*
 * Orders to one target by two side processes that both believe to be beside it.
 *
 * A registration is an append to the log; its offset is the fencing number. A
 * holder may be paused between its check of the log and the arrival of its
 * order. The target checks fencing numbers.
 *
 * Property: the target applies no order from a holder whose successor's order
 * it has already applied.
 *
 * Variants without a guard: NO_TARGET_CHECK, FENCE_IS_LOCAL.
 */

#define HOLDERS 2

byte logEnd = 1;
byte lastRegistered = 0;       /* fencing number of the latest registration */

byte inflight[HOLDERS];        /* fencing number of the order in flight; 0 for none */
byte registered[HOLDERS];

byte highest = 0;              /* highest number that the target has seen */
byte appliedOffset = 0;        /* ghost: registration offset of the last applied order */

proctype Holder(byte h) {
	byte round = 0;
	do
	:: round < 2 ->
		round++;
		atomic {                 /* register */
			registered[h] = logEnd;
			lastRegistered = logEnd;
			logEnd++
		};
		atomic {                 /* fold to the end, then give the order; both may be long apart */
			if
			:: lastRegistered == registered[h] && inflight[h] == 0 ->
#ifdef FENCE_IS_LOCAL
				inflight[h] = round * 10 + registered[h]
#else
				inflight[h] = registered[h]
#endif
			:: else -> skip
			fi
		}
	:: else -> break
	od
}

inline receive(h) {
	if
#ifndef NO_TARGET_CHECK
	:: inflight[h] < highest -> skip
#endif
	:: else ->
		highest = inflight[h];
#ifdef FENCE_IS_LOCAL
		assert(inflight[h] % 10 >= appliedOffset);
		appliedOffset = inflight[h] % 10
#else
		assert(inflight[h] >= appliedOffset);
		appliedOffset = inflight[h]
#endif
	fi;
	inflight[h] = 0
}

active proctype Target() {
end:
	do
	:: atomic { inflight[0] > 0 -> receive(0) }
	:: atomic { inflight[1] > 0 -> receive(1) }
	od
}

init {
	atomic { run Holder(0); run Holder(1) }
}
