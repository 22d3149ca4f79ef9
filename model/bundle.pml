/*
 * Publication of bundles by racing operators, retention, checkpoints by a
 * process that was paused, and readers that restart.
 *
 * Property: a bundle in effect at a reader is always one that the complete fold
 * of the log accepted, and its version never decreases while the reader lives.
 *
 * Variants without a guard: NO_BASE, CHECKPOINT_BY_POSITION, NO_READ_TO_END,
 * NO_ACCEPT_OFFSET.
 */

#define LOGSIZE 7
#define VERSIONS 4

mtype = { publish, checkpoint };

typedef Record {
	mtype kind;
	byte version;
	byte id;
	byte base;
	byte accepted     /* offset at which the bundle was accepted; checkpoints only */
};

Record log[LOGSIZE];
byte first = 0;
byte logEnd = 0;
byte nextId = 1;

/* Ghost: the fold of the complete log. */
byte ghostVersion = 0;
byte ghostId = 0;
byte ghostOffset = 0;
byte acceptedId[VERSIONS];

inline appendPublish(v, b) {
	log[logEnd].kind = publish; log[logEnd].version = v; log[logEnd].id = nextId; log[logEnd].base = b;
	if
	:: b == ghostId && v == ghostVersion + 1 ->
		ghostVersion = v; ghostId = nextId; ghostOffset = logEnd; acceptedId[v] = nextId
	:: else -> skip
	fi;
	nextId++;
	logEnd++
}

/* Operators publish on the base they saw, possibly late. */
active [2] proctype Operator() {
	byte base = 0;
	byte version = 0;
	atomic { base = ghostId; version = ghostVersion };
	atomic { (logEnd < LOGSIZE && version + 1 < VERSIONS) -> appendPublish(version + 1, base) };
	atomic { base = ghostId; version = ghostVersion };
	atomic {
		if
		:: logEnd < LOGSIZE && version + 1 < VERSIONS -> appendPublish(version + 1, base)
		:: else -> skip
		fi
	}
}

/* Appends a checkpoint of what it had in effect before a pause of any length. */
active [2] proctype Checkpointer() {
	byte version = 0;
	byte id = 0;
	byte accepted = 0;
	atomic { ghostVersion > 0 -> version = ghostVersion; id = ghostId; accepted = ghostOffset };
	atomic {
		if
		:: logEnd < LOGSIZE ->
			log[logEnd].kind = checkpoint; log[logEnd].version = version; log[logEnd].id = id; log[logEnd].accepted = accepted;
			logEnd++
		:: else -> skip
		fi
	}
}

/* Retention drops the oldest record, but a checkpoint of the current bundle is
 * appended in time, so one always remains behind it. */
active proctype Retention() {
	byte i;
	bool covered;
end:
	do
	:: atomic { first < logEnd ->
		covered = false;
		i = first + 1;
		do
		:: i < logEnd ->
			if
			:: log[i].kind == checkpoint && log[i].id == ghostId -> covered = true
			:: else -> skip
			fi;
			i++
		:: else -> break
		od;
		if
		:: covered -> first++
		:: else -> skip
		fi;
		i = 0; covered = false }
	od
}

active proctype Reader() {
	byte pos = 0;
	byte version = 0;
	byte id = 0;
	byte offset = 0;
	byte effect = 0;          /* version in effect since the start */
	bool caughtUp = false;
	byte restarts = 0;
end:
	do
	:: atomic { pos < first -> pos = first }
	:: atomic { pos >= first && pos < logEnd ->
		if
		:: log[pos].kind == publish ->
			if
#ifdef NO_BASE
			:: log[pos].version >= version -> version = log[pos].version; id = log[pos].id; offset = pos
#else
			:: log[pos].base == id && log[pos].version == version + 1 -> version = log[pos].version; id = log[pos].id; offset = pos
#endif
			:: else -> skip
			fi
		:: log[pos].kind == checkpoint ->
			if
#ifdef CHECKPOINT_BY_POSITION
			:: true -> version = log[pos].version; id = log[pos].id; offset = log[pos].accepted
#else
			:: log[pos].version > version -> version = log[pos].version; id = log[pos].id; offset = log[pos].accepted
#ifndef NO_ACCEPT_OFFSET
			:: log[pos].version == version && log[pos].id != id && log[pos].accepted < offset -> id = log[pos].id; offset = log[pos].accepted
#endif
			:: else -> skip
#endif
			fi
		fi;
		pos++ }
#ifdef NO_READ_TO_END
	:: atomic { version > 0 && effect != version ->
#else
	:: atomic { pos == logEnd && version > 0 && (effect != version || !caughtUp) ->
		caughtUp = true;
#endif
		assert(version >= effect);
		effect = version;
		assert(id == acceptedId[version]) }
	:: atomic { restarts < 2 -> restarts++; pos = first; version = 0; id = 0; offset = 0; effect = 0; caughtUp = false }
	od
}
