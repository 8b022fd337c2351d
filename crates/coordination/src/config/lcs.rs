//! Longest common subsequence of lines, using the greedy algorithm of Myers (1986).
//!
//! Its cost depends mainly on the number of differing lines rather than on the length of the texts,
//! so two small changes far apart in a 1 MB bundle still yield a small delta.

/// Maximum number of differing lines for which matching lines are searched; above it, everything
/// between the common prefix and suffix is replaced. A changed line counts twice, as a deletion and
/// an insertion. The search stores about half the square of this number of 4-byte cells.
const MAX_DIFFERING_LINES: usize = 1_000;

/// A run of equal lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Run {
    /// Index of the first line in the old text.
    pub(super) old: usize,
    /// Index of the first line in the new text.
    pub(super) new: usize,
    /// Number of lines.
    pub(super) len: usize,
}

/// Finds runs of equal lines that are ordered and disjoint in both texts.
pub(super) fn matching_runs(old: &[&str], new: &[&str]) -> Vec<Run> {
    let prefix = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
    let suffix =
        old_rest.iter().rev().zip(new_rest.iter().rev()).take_while(|(a, b)| a == b).count();
    let middle_old = &old_rest[..old_rest.len() - suffix];
    let middle_new = &new_rest[..new_rest.len() - suffix];

    let mut runs = vec![Run { old: 0, new: 0, len: prefix }];
    let pairs = common_subsequence(middle_old, middle_new).unwrap_or_default();
    for (a, b) in pairs {
        let (a, b) = (prefix + a, prefix + b);
        match runs.last_mut() {
            Some(run) if run.old + run.len == a && run.new + run.len == b => run.len += 1,
            _ => runs.push(Run { old: a, new: b, len: 1 }),
        }
    }
    runs.push(Run { old: old.len() - suffix, new: new.len() - suffix, len: suffix });
    runs.retain(|run| run.len > 0);
    runs
}

/// Returns the index pairs of a longest common subsequence, or `None` if the texts differ in more
/// than [`MAX_DIFFERING_LINES`] lines.
fn common_subsequence(old: &[&str], new: &[&str]) -> Option<Vec<(usize, usize)>> {
    let trace = shortest_edit_trace(old, new)?;
    let (mut x, mut y) = (old.len(), new.len());
    let mut pairs = Vec::new();
    for d in (0..trace.len()).rev() {
        let k = diagonal(x, y);
        let previous = if d == 0 { None } else { Some(&trace[d - 1]) };
        let (from_x, from_y) = match previous {
            None => (0, 0),
            Some(row) => {
                let from_k = if follows_insertion(row, k, d) { k + 1 } else { k - 1 };
                let from_x = furthest_x(row, from_k, d - 1);
                (from_x, y_on_diagonal(from_x, from_k))
            }
        };
        while x > from_x && y > from_y && old[x - 1] == new[y - 1] {
            (x, y) = (x - 1, y - 1);
            pairs.push((x, y));
        }
        (x, y) = (from_x, from_y);
    }
    pairs.reverse();
    Some(pairs)
}

/// Returns, for each number of differences, the furthest old line reached on each diagonal. The last
/// row reaches the end of both texts.
fn shortest_edit_trace(old: &[&str], new: &[&str]) -> Option<Vec<Vec<u32>>> {
    let mut trace: Vec<Vec<u32>> = Vec::new();
    for d in 0..=MAX_DIFFERING_LINES.min(old.len() + new.len()) {
        let mut row = vec![0; d + 1];
        for (i, cell) in row.iter_mut().enumerate() {
            let k = 2 * i as isize - d as isize;
            let start = match trace.last() {
                None => 0,
                Some(before) if follows_insertion(before, k, d) => furthest_x(before, k + 1, d - 1),
                Some(before) => furthest_x(before, k - 1, d - 1) + 1,
            };
            let (mut x, mut y) = (start, start as isize - k);
            // Diagonals outside the texts are kept so that indices stay regular; they match no lines.
            while x < old.len() && y >= 0 && (y as usize) < new.len() && old[x] == new[y as usize] {
                (x, y) = (x + 1, y + 1);
            }
            *cell = u32::try_from(x).ok()?;
        }
        let k = diagonal(old.len(), new.len());
        let done = k.unsigned_abs() <= d
            && (k + d as isize) % 2 == 0
            && furthest_x(&row, k, d) >= old.len();
        trace.push(row);
        if done {
            return Some(trace);
        }
    }
    None
}

/// Returns whether the furthest path to diagonal `k` with `d` differences ends in an insertion.
fn follows_insertion(before: &[u32], k: isize, d: usize) -> bool {
    let limit = d as isize;
    k == -limit
        || (k != limit && furthest_x(before, k - 1, d - 1) < furthest_x(before, k + 1, d - 1))
}

/// Returns the furthest old line reached on diagonal `k`. The row for `d` differences contains only
/// the diagonals -d, -d + 2, ..., d.
fn furthest_x(row: &[u32], k: isize, d: usize) -> usize {
    row[((k + d as isize) / 2) as usize] as usize
}

/// Returns the number of the diagonal on which old line `x` and new line `y` meet.
fn diagonal(x: usize, y: usize) -> isize {
    x as isize - y as isize
}

fn y_on_diagonal(x: usize, k: isize) -> usize {
    (x as isize - k).max(0) as usize
}
