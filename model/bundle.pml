/*
 * Publication of bundles by racing operators, retention, checkpoints by processes
 * that may be paused, and a reader that restarts.
 *
 * Property: a bundle in effect at the reader is always one that the fold of the
 * complete log accepts, and its version never decreases between restarts.
 *
 * Each variant below, set as a preprocessor symbol, removes one guard and must
 * violate the property:
 *   NO_BASE                 the reader ignores the base of a published bundle
 *   CHECKPOINT_BY_POSITION  the latest checkpoint in the log wins, whatever its version
 *   NO_READ_TO_END          bundles take effect before the reader has read to the end
 *   NO_ACCEPT_OFFSET        of two bundles with the same version the reader keeps the one
 *                           that it read first, not the one that was accepted first
 */

#define LOGSIZE 7
#define VERSIONS 4

mtype = { publish, checkpoint };

typedef Record {
	mtype kind;
	byte version;
	byte id;
	byte base;        /* id of the bundle that this one replaces; publications only */
	byte accepted     /* offset at which the bundle was accepted; checkpoints only */
};

Record log[LOGSIZE];
byte firstRetained = 0;   /* offset of the oldest record retained */
byte logEnd = 0;          /* offset of the next record */
byte nextId = 1;

/* Ghost state: the bundle accepted by the fold of the complete log, the offset at which
 * it was accepted, and the accepted id by version. */
byte ghostVersion = 0;
byte ghostId = 0;
byte ghostOffset = 0;
byte acceptedId[VERSIONS];

/* Appends the publication of a bundle of version v with base b. */
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

/* Each operator publishes twice, on a base that may be superseded by then. */
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

/* Appends a checkpoint of the bundle that was in effect before a pause of any length. */
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

/* Retention drops the oldest record, but only if a checkpoint of the current bundle
 * remains behind it: processes append checkpoints in time. */
active proctype Retention() {
	byte i;
	bool covered;
end:
	do
	:: atomic { firstRetained < logEnd ->
		covered = false;
		i = firstRetained + 1;
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
		:: covered -> firstRetained++
		:: else -> skip
		fi;
		i = 0; covered = false }
	od
}

/* Folds the log from the oldest record retained, and puts the accepted bundle into
 * effect when it has read to the end. */
active proctype Reader() {
	byte readPos = 0;
	byte version = 0;
	byte id = 0;
	byte offset = 0;
	byte versionInEffect = 0; /* 0 for none since the last restart */
	bool readToEnd = false;   /* has read to the end of the log since the last restart */
	byte restarts = 0;
end:
	do
	:: atomic { readPos < firstRetained -> readPos = firstRetained }
	:: atomic { readPos >= firstRetained && readPos < logEnd ->
		if
		:: log[readPos].kind == publish ->
			if
#ifdef NO_BASE
			:: log[readPos].version >= version -> version = log[readPos].version; id = log[readPos].id; offset = readPos
#else
			:: log[readPos].base == id && log[readPos].version == version + 1 -> version = log[readPos].version; id = log[readPos].id; offset = readPos
#endif
			:: else -> skip
			fi
		:: log[readPos].kind == checkpoint ->
			if
#ifdef CHECKPOINT_BY_POSITION
			:: true -> version = log[readPos].version; id = log[readPos].id; offset = log[readPos].accepted
#else
			:: log[readPos].version > version -> version = log[readPos].version; id = log[readPos].id; offset = log[readPos].accepted
#ifndef NO_ACCEPT_OFFSET
			:: log[readPos].version == version && log[readPos].id != id && log[readPos].accepted < offset -> id = log[readPos].id; offset = log[readPos].accepted
#endif
			:: else -> skip
#endif
			fi
		fi;
		readPos++ }
#ifdef NO_READ_TO_END
	:: atomic { version > 0 && versionInEffect != version ->
#else
	:: atomic { readPos == logEnd && version > 0 && (versionInEffect != version || !readToEnd) ->
		readToEnd = true;
#endif
		assert(version >= versionInEffect);
		versionInEffect = version;
		assert(id == acceptedId[version]) }
	:: atomic { restarts < 2 -> restarts++; readPos = firstRetained; version = 0; id = 0; offset = 0; versionInEffect = 0; readToEnd = false }
	od
}
