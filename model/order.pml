/*
 * Orders to one target from two side processes, called holders, each of which acts
 * as the one beside it.
 *
 * A holder registers by an append to the log; the offset of the record is its fencing
 * token. It may be paused between its check of the log and the arrival of its order.
 * The target checks fencing tokens.
 *
 * Property: the target applies no order from a registration after it has applied one
 * from a later registration.
 *
 * Each variant below, set as a preprocessor symbol, removes one guard and must
 * violate the property:
 *   NO_TARGET_CHECK  the target does not check fencing tokens
 *   FENCE_IS_LOCAL   the fencing token starts with a counter local to the holder
 */

#define HOLDERS 2

byte logEnd = 1;               /* offset of the next record; 0 stands for no registration */
byte lastRegistered = 0;       /* fencing token of the latest registration */

byte inFlight[HOLDERS];        /* fencing token of the order in flight; 0 for none */
byte registered[HOLDERS];      /* fencing token of each holder's latest registration */

byte highestSeen = 0;          /* highest fencing token of an applied order */
byte ghostAppliedOffset = 0;   /* ghost: registration offset of the last applied order */

proctype Holder(byte h) {
	byte round = 0;
	do
	:: round < 2 ->
		round++;
		atomic {                 /* register by an append */
			registered[h] = logEnd;
			lastRegistered = logEnd;
			logEnd++
		};
		atomic {                 /* read the log to its end and send an order if not superseded; it may arrive late */
			if
			:: lastRegistered == registered[h] && inFlight[h] == 0 ->
#ifdef FENCE_IS_LOCAL
				inFlight[h] = round * 10 + registered[h]
#else
				inFlight[h] = registered[h]
#endif
			:: else -> skip
			fi
		}
	:: else -> break
	od
}

/* Handles holder h's order when it arrives at the target. */
inline receiveOrder(h) {
	if
#ifndef NO_TARGET_CHECK
	:: inFlight[h] < highestSeen -> skip
#endif
	:: else ->
		highestSeen = inFlight[h];
#ifdef FENCE_IS_LOCAL
		assert(inFlight[h] % 10 >= ghostAppliedOffset);
		ghostAppliedOffset = inFlight[h] % 10
#else
		assert(inFlight[h] >= ghostAppliedOffset);
		ghostAppliedOffset = inFlight[h]
#endif
	fi;
	inFlight[h] = 0
}

active proctype Target() {
end:
	do
	:: atomic { inFlight[0] > 0 -> receiveOrder(0) }
	:: atomic { inFlight[1] > 0 -> receiveOrder(1) }
	od
}

init {
	atomic { run Holder(0); run Holder(1) }
}
