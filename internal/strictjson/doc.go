// Package strictjson decodes JSON that people write: it refuses unknown,
// repeated and misspelt fields, null and trailing data, and names the path of
// every problem, such as "added.groups[2].size".
package strictjson
