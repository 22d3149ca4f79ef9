/*
 * Sessions, incarnations and attempts between one entry and one side process,
 * for one request.
 *
 * The network delays dispatches without bound in time, loses them and duplicates
 * them. A session may go silent at any step. The side process may restart, which
 * clears its whole state. Ghost variables, which the protocol does not read, count
 * the runs at the engine and survive the restart.
 *
 * Properties: the request runs at most once, and if it was reported as not run it
 * never runs.
 *
 * Each variant below, set as a preprocessor symbol, removes one guard and must
 * violate a property:
 *   NO_SESSION_FENCE    the side process accepts dispatches of earlier sessions
 *   NO_INCARNATION      it accepts dispatches meant for an earlier incarnation
 *   NO_SEEN_TABLE       it accepts dispatches of attempts that have run or were withdrawn
 *   UNKNOWN_AS_NOT_RUN  an attempt of an earlier incarnation counts as not run
 */

#define ATTEMPTS 2
#define SESSIONS 3
#define RESTARTS 1
#define COPIES   2

/* Phases of an attempt at the side process; unknown occurs in answers only. */
mtype = { unseen, queued, ran, notrun, unknown };

/* Dispatches in flight, by attempt. */
byte copiesInFlight[ATTEMPTS];
byte sentSession[ATTEMPTS];       /* session on which they were sent */
byte sentIncarnation[ATTEMPTS];   /* incarnation of the side process for which they are meant */

/* State of the side process. */
byte sideIncarnation = 1;
byte sideSession = 0;      /* latest session opened in this incarnation; 0 for none */
byte restarts = 0;
mtype phase[ATTEMPTS];     /* by attempt, in this incarnation */

/* Ghost state. */
byte ghostRuns = 0;
bool ghostReportedNotRun = false;

/* Clears the attempt table of the side process, as a restart does. */
inline clearPhases() {
	phase[0] = unseen;
	phase[1] = unseen;
}

/* Runs a queued attempt at the engine. */
inline execute(a) {
	phase[a] = ran;
	ghostRuns++;
	assert(ghostRuns <= 1);
	assert(!ghostReportedNotRun)
}

/* Delivers one copy of attempt a's dispatch, which is queued unless a guard drops it. */
inline deliver(a) {
	if
#ifndef NO_INCARNATION
	:: sentIncarnation[a] != sideIncarnation -> skip
#endif
#ifndef NO_SESSION_FENCE
	:: sentIncarnation[a] == sideIncarnation && sentSession[a] != sideSession -> skip
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
	clearPhases();
end:
	do
	:: atomic { copiesInFlight[0] > 0 -> copiesInFlight[0]--; deliver(0) }
	:: atomic { copiesInFlight[1] > 0 -> copiesInFlight[1]--; deliver(1) }
	:: atomic { copiesInFlight[0] > 0 -> copiesInFlight[0]-- }   /* loss, here and below */
	:: atomic { copiesInFlight[1] > 0 -> copiesInFlight[1]-- }
	:: atomic { phase[0] == queued -> execute(0) }
	:: atomic { phase[1] == queued -> execute(1) }
	:: atomic { restarts < RESTARTS -> restarts++; sideIncarnation++; sideSession = 0; clearPhases() }
	od
}

/* State of the entry. */
byte currentAttempt = 0;   /* attempt that the entry waits for */
byte entrySession = 0;     /* number of the entry's latest session */
byte peerIncarnation = 0;  /* of the side process, as learnt when the session was opened */
mtype answer;

/* Opens the next session, which fences the earlier ones. */
inline openSession() {
	atomic { entrySession++; sideSession = entrySession; peerIncarnation = sideIncarnation }
}

/* Asks the side process for the phase of the current attempt. Question and answer
 * are one step, because the entry repeats a lost question on its next session. */
inline attach() {
	atomic {
		if
#ifdef UNKNOWN_AS_NOT_RUN
		:: sentIncarnation[currentAttempt] != sideIncarnation -> answer = unseen
#else
		:: sentIncarnation[currentAttempt] != sideIncarnation -> answer = unknown
#endif
		:: else -> answer = phase[currentAttempt]
		fi
	}
}

/* Withdraws the current attempt if it is still queued. */
inline withdraw() {
	atomic {
		if
		:: sentIncarnation[currentAttempt] == sideIncarnation && phase[currentAttempt] == queued -> phase[currentAttempt] = notrun; answer = notrun
		:: else -> skip
		fi
	}
}

active proctype Entry() {
	openSession();
place:
	atomic { copiesInFlight[currentAttempt] = COPIES; sentSession[currentAttempt] = entrySession; sentIncarnation[currentAttempt] = peerIncarnation };
	do
	:: entrySession < SESSIONS ->                /* the session is silent: open the next one and ask */
		openSession();
		attach();
		if
		:: answer == queued -> withdraw()
		:: else -> skip
		fi;
		if
		:: answer == unseen || answer == notrun ->
			if
			:: currentAttempt + 1 < ATTEMPTS -> currentAttempt++; goto place
			:: atomic { true -> ghostReportedNotRun = true; assert(ghostRuns == 0); goto finished }
			fi
		:: answer == ran -> goto finished
		:: answer == unknown -> goto finished
		:: else -> skip                     /* still queued */
		fi
	:: break                                /* the caller has disconnected */
	od;
finished:
	skip
}
