/*
 * Sessions, incarnations and attempts between one entry and one side process.
 *
 * The network delays, loses and duplicates dispatches without bound in time. A
 * session may go silent at any step. The side process may restart and then
 * forgets everything but its engine's run count, which is a ghost variable.
 *
 * Properties: one request runs at most once, and a request that was reported
 * as not run never runs.
 *
 * Variants without a guard: NO_SESSION_FENCE, NO_INCARNATION, NO_SEEN_TABLE,
 * UNKNOWN_AS_NOT_RUN.
 */

#define ATTEMPTS 2
#define SESSIONS 3
#define RESTARTS 1
#define COPIES   2

mtype = { unseen, queued, ran, notrun, unknown };

/* Dispatches in flight: copies[a] of attempt a, sent on session sess[a] to incarnation inc[a]. */
byte copies[ATTEMPTS];
byte sess[ATTEMPTS];
byte inc[ATTEMPTS];

/* Side process. */
byte incarnation = 1;
byte session = 0;          /* highest session opened in this incarnation */
byte restarts = 0;
mtype phase[ATTEMPTS];     /* phase in this incarnation */

/* Ghost state. */
byte runs = 0;
bool reportedNotRun = false;

inline forget() {
	phase[0] = unseen;
	phase[1] = unseen;
}

/* Runs a queued attempt at the engine. */
inline execute(a) {
	phase[a] = ran;
	runs++;
	assert(runs <= 1);
	assert(!reportedNotRun)
}

/* Delivers one copy of attempt a's dispatch. */
inline deliver(a) {
	if
#ifndef NO_INCARNATION
	:: inc[a] != incarnation -> skip
#endif
#ifndef NO_SESSION_FENCE
	:: inc[a] == incarnation && sess[a] != session -> skip
#endif
	:: else ->
		if
#ifndef NO_SEEN_TABLE
		:: phase[a] != unseen -> skip
#else
		:: phase[a] == queued -> skip
#endif
		:: else -> phase[a] = queued
		fi
	fi
}

active proctype Side() {
	forget();
end:
	do
	:: atomic { copies[0] > 0 -> copies[0]--; deliver(0) }
	:: atomic { copies[1] > 0 -> copies[1]--; deliver(1) }
	:: atomic { copies[0] > 0 -> copies[0]-- }                 /* loss */
	:: atomic { copies[1] > 0 -> copies[1]-- }
	:: atomic { phase[0] == queued -> execute(0) }
	:: atomic { phase[1] == queued -> execute(1) }
	:: atomic { restarts < RESTARTS -> restarts++; incarnation++; session = 0; forget() }
	od
}

byte current = 0;          /* attempt that the entry works on */
byte number = 0;           /* entry's session number */
byte peerIncarnation = 0;  /* learnt when the session was opened */
mtype answer;

/* Opens the next session, which fences the earlier ones. */
inline openSession() {
	atomic { number++; session = number; peerIncarnation = incarnation }
}

/* Asks for the current attempt on the current session. The exchange is one step:
 * a lost question is asked again on the next session. */
inline attach() {
	atomic {
		if
#ifdef UNKNOWN_AS_NOT_RUN
		:: inc[current] != incarnation -> answer = unseen
#else
		:: inc[current] != incarnation -> answer = unknown
#endif
		:: else -> answer = phase[current]
		fi
	}
}

inline withdraw() {
	atomic {
		if
		:: inc[current] == incarnation && phase[current] == queued -> phase[current] = notrun; answer = notrun
		:: else -> skip
		fi
	}
}

active proctype Entry() {
	openSession();
place:
	atomic { copies[current] = COPIES; sess[current] = number; inc[current] = peerIncarnation };
	do
	:: number < SESSIONS ->                /* silence: open the next session and ask */
		openSession();
		attach();
		if
		:: answer == queued -> withdraw()
		:: else -> skip
		fi;
		if
		:: answer == unseen || answer == notrun ->
			if
			:: current + 1 < ATTEMPTS -> current++; goto place
			:: atomic { true -> reportedNotRun = true; assert(runs == 0); goto finished }
			fi
		:: answer == ran -> goto finished
		:: answer == unknown -> goto finished
		:: else -> skip                     /* still queued */
		fi
	:: break                                /* the caller went away */
	od;
finished:
	skip
}
