/** Tells turns of the event loop apart. */

let turn = 0;
let isEndScheduled = false;

/** Returns a number that is the same for all data that the event loop reads in one turn, and another one in the next turn. */
export function getLoopTurn(): number {
    if (!isEndScheduled) {
        isEndScheduled = true;
        setImmediate(() => {
            isEndScheduled = false;
            turn += 1;
        });
    }
    return turn;
}
