/*
 * Claims of one key in log order by two entries, each with a target of its own.
 *
 * Entry 0 places first; entry 1 stands for the caller's retry. Either may pause
 * at any step, so a dispatch may follow its claim arbitrarily late. Dispatches
 * are delayed without bound. Append acknowledgements may be lost, in which case
 * the entry reads the log. A target may restart.
 *
 * Property: the key runs at most once, and a key that was reported as not run
 * by its last entry never runs through that entry.
 *
 * Variants without a guard: NO_VOID, NO_LOG_ORDER, NO_HORIZON, RESTART_IS_RECEIPT.
 */

#define ENTRIES 2
#define LOGSIZE 6

/* Log records: entry that claims and placement number. A valid record for
 * placement 2 carries a receipt, which is checked before it is appended. */
byte logEntry[LOGSIZE];
byte logPlacement[LOGSIZE];
byte logEnd = 0;

/* Targets, one per entry's attempt. */
byte incarnation[ENTRIES];
bool voided[ENTRIES];
bool executed[ENTRIES];   /* in the target's present incarnation */
bool inflight[ENTRIES];
byte inflightInc[ENTRIES];
byte claimInc[ENTRIES];   /* incarnation named in the claim */
bool restarted[ENTRIES];

byte runs = 0;

inline append(e, p) {
	atomic {
		if
		:: logEnd < LOGSIZE -> logEntry[logEnd] = e; logPlacement[logEnd] = p; logEnd++
		:: else -> skip
		fi
	}
}

/* Holder of placement p: the first record for it in log order; ENTRIES for none. */
inline fold(p, from, holder) {
	atomic {
		holder = ENTRIES;
		i = from;
		do
		:: i < logEnd && holder == ENTRIES ->
			if
			:: logPlacement[i] == p -> holder = logEntry[i]
			:: else -> skip
			fi;
			i++
		:: else -> break
		od;
		i = 0
	}
}

proctype Target(byte t) {
end:
	do
	:: atomic { inflight[t] ->
		inflight[t] = false;
		if
		:: inflightInc[t] == incarnation[t] && !voided[t] && !executed[t] ->
			executed[t] = true;
			runs++;
			assert(runs <= 1)
		:: else -> skip
		fi }
	:: atomic { !restarted[t] ->
		restarted[t] = true;
		incarnation[t]++;
		voided[t] = false;
		executed[t] = false }
	od
}

proctype Entry(byte e) {
	byte i = 0;
	byte start = 0;
	byte holder1 = ENTRIES;
	byte holder2 = ENTRIES;
	byte other = 1 - e;
	bool receipt = false;

#ifdef NO_HORIZON
	start = logEnd;           /* reads only what follows its own start */
#endif
	claimInc[e] = incarnation[e];
	fold(1, start, holder1);
	if
	:: holder1 == ENTRIES ->
		append(e, 1);          /* the acknowledgement may be lost: the log decides */
#ifdef NO_LOG_ORDER
		holder1 = e
#else
		fold(1, start, holder1)
#endif
	:: else -> skip
	fi;
	if
	:: holder1 == e -> goto dispatch
	:: holder1 == ENTRIES -> goto done
	:: else -> skip
	fi;

	/* Another entry holds the key. Take over only with a receipt for placement 1. */
	atomic {
		if
		:: incarnation[other] != claimInc[other] ->
#ifdef RESTART_IS_RECEIPT
			receipt = true
#else
			receipt = false
#endif
		:: else ->
			if
			:: executed[other] -> receipt = false
			:: else ->
#ifndef NO_VOID
				voided[other] = true;
#endif
				receipt = true
			fi
		fi
	};
	if
	:: !receipt -> goto done
	:: else -> skip
	fi;
	append(e, 2);
	fold(2, start, holder2);
	if
	:: holder2 == e -> skip
	:: else -> goto done
	fi;
dispatch:
	atomic { inflight[e] = true; inflightInc[e] = claimInc[e] };
done:
	skip
}

init {
	atomic {
		incarnation[0] = 1; incarnation[1] = 1;
		run Target(0); run Target(1);
		run Entry(0); run Entry(1)
	}
}
